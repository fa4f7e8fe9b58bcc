"""Sockets, HTTP, pyzmq and the platform client."""
