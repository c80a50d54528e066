"""Shows what an upstream reads of a request whose sender has reset the connection."""

import socket
import struct
import unittest

UPSTREAM_HOST = "127.0.8.1"


def reset(connection):
    """Closes a connection as a cancelled call does."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class ResetConnectionTest(unittest.TestCase):
    """An entry cancels a call in this way."""

    def setUp(self):
        self.listener = socket.socket()
        self.listener.bind((UPSTREAM_HOST, 0))
        self.listener.listen(8)
        self.listener.settimeout(5)
        self.addCleanup(self.listener.close)

    def send(self):
        connection = socket.create_connection(self.listener.getsockname(), 5)
        connection.sendall(b"request")
        return connection

    def check_read(self, connection):
        with connection:
            connection.settimeout(5)
            self.assertEqual(connection.recv(100), b"request")
            with self.assertRaises(ConnectionResetError):
                connection.recv(100)

    def test_request_is_read_after_a_reset(self):
        """States that a request which the operating system of the upstream has received can't be
        taken back: the application reads it after the reset. A bound on late requests that relies
        on a cancelled call would be wrong."""
        sender = self.send()
        receiver = self.listener.accept()[0]
        reset(sender)
        self.check_read(receiver)

    def test_request_is_read_after_a_reset_before_the_connection_is_accepted(self):
        """States the same for a connection that the upstream accepts after the reset."""
        reset(self.send())
        self.check_read(self.listener.accept()[0])


if __name__ == "__main__":
    unittest.main()
