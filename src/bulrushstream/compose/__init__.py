"""The composition root: the only place that wires parts together.

`fleet` wires routers and agents that pull requests, configured by the
project's own settings; `entry` wires front-end routers on the users'
platform.  They are separate modules because importing the parts of `fleet`
would make the start of a front-end router too slow.
"""
