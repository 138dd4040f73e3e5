"""How the command line shows what it found."""
