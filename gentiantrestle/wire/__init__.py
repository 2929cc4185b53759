"""Messages between instances, generated from ``peer.thrift``."""
