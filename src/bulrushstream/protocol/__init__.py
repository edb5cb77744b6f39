"""Wire formats, and interfaces to the platform's services."""
