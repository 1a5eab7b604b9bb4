"""Incremental codecs of the wire protocols, without sockets or clocks."""
