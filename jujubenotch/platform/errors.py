"""Errors of the adapter to the platform."""


class PlatformSettingsError(Exception):
    """The platform's settings file can't be read, or one of its fields is invalid.

    The message names the file, and the field if one is invalid.
    """


class DecodeError(Exception):
    """What the store returned is not what this system writes there."""
