"""Lets a socket drop all that arrives, as if its host had lost power."""

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26
RETURN_NOTHING = struct.pack(
    "HBBI", 0x06, 0, 0, 0
)  # the only instruction: keep 0 bytes


def become_unreachable(sock):
    """Drop each segment that arrives for `sock` from now on, without a reply."""
    instructions = ctypes.create_string_buffer(RETURN_NOTHING)
    program = struct.pack("HP", 1, ctypes.addressof(instructions))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
