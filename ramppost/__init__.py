"""ramppost: a model-aware router for teams that serve several models and versions.

Start reading at `ramppost.cli.main`; one request then goes through
`ramppost.entry.callers`, `ramppost.entry.serve`, `ramppost.entry.dispatch` and
`ramppost.agent.handler` to an upstream and back.
"""

__version__ = "0.1.0"
