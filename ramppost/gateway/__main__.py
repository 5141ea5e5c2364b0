"""Runs a gateway: `python -m ramppost.gateway`."""

from ramppost.gateway.main import main

main()
