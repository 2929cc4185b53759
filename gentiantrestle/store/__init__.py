"""The platform's object API behind one small adapter."""
