"""A randomised run of the platform's program with stand-ins for its environment.

Each instance is a process of its own. The store, the upstreams, the relays and the
callers run in the process that checks the rules, so that their times come from one
clock.
"""
