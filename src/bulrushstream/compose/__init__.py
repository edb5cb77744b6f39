"""The composition root: the only place that wires parts together.

`fleet` wires routers and agents that pull work, from settings of our own;
`entry` wires routers on the users' platform.  They are apart because the
parts of the first take longer to load than the second should need to start.
"""
