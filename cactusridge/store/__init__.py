"""The store as the system sees it: tables, objects, list of hosts."""
