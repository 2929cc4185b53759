"""The daemon; each folder is a child of the root supervisor."""
