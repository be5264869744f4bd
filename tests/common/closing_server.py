"""A server whose responses end with their connection."""

import gevent.server
import gevent.socket
import httptools

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


class Server:
    """Sends the same bytes for each request, and closes the connection."""

    def __init__(self, data):
        self._data = data
        self._server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"
        self.url = f"http://{self.address}"

    def stop(self):
        self._server.stop()

    def _serve(self, sock, address):
        del address
        complete = []

        class Protocol:
            def on_message_complete(self):
                complete.append(True)

        parser = httptools.HttpRequestParser(Protocol())
        while not complete:
            parser.feed_data(sock.recv(65536))
        sock.sendall(self._data)
        sock.shutdown(gevent.socket.SHUT_WR)
