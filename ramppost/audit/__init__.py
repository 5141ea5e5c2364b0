"""Checks what a deployment promises from the log lines of its gateways."""
