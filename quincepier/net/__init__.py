"""The actors of a front: client connections, cache connections, the change log and the decision module."""
