"""Translation between the product and the machines' platform."""
