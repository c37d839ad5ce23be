"""The one form in which names of hosts are compared."""


def normalize_host(host: str) -> str:
    """Return a host's name in lower case, without its port and final dot.

    :param host: value of a ``Host`` header, or the host of a route.

    >>> normalize_host("Site.Example.:8080"), normalize_host("site.example:")
    ('site.example', 'site.example')
    >>> normalize_host("[::1]:80")
    '[::1]'
    """
    name, colon, port = host.rpartition(":")
    if not colon or (port and not (port.isascii() and port.isdigit())):
        name = host
    return name.lower().removesuffix(".")
