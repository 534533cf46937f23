"""Errors of the adapter to the platform."""


class PlatformSettingsError(Exception):
    """The platform's settings file is invalid; the message names the field."""
