"""ramppost: a model-aware router for teams that serve several models and versions.

The command line starts in `ramppost.cli.main`.  A request passes through
`ramppost.entry.callers`, `ramppost.entry.serve`, `ramppost.entry.dispatch` and
`ramppost.agent.handler` to an upstream and back.
"""

__version__ = "0.1.0"
