"""A router for language-model traffic with service levels and priorities."""
