"""The daemon: its folders are the children of the root supervisor."""
