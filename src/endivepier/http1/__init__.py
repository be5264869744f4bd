"""Strict HTTP/1.1 on both sides, parsed by `httptools` on gevent's sockets."""
