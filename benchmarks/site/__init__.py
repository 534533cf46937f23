"""A randomised run of the platform's program among stand-ins.

The instances are processes; the store, the upstreams, the relays and the callers
run in the process that checks them, so that all share one clock.
"""
