"""Route requests to servers that own keys exclusively."""

__all__ = ["__version__"]

__version__ = "0.1.0"
