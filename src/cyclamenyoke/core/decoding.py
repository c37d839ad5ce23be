"""Types for values from outside the process, with the range that all later steps bear.

The JSON decoder accepts integers of any size, while MessagePack, in which gateways
exchange what they read, has none beyond 64 bits. So each field of a document or message
states its range, and a value outside of it is rejected where it is decoded.
"""

from typing import Annotated

from msgspec import Meta

Integer64 = Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)]
"""A signed integer of 64 bits."""

Count = Annotated[int, Meta(ge=0, le=2**53)]
"""A number of things; exact as a float as well."""

Timestamp = Annotated[int, Meta(ge=0, le=2**63 - 1)]
"""A time since the Unix epoch, in the unit that the field states."""

Number = Annotated[float, Meta(ge=-1e15, le=1e15)]
"""A finite number whose products with unit factors are finite as well."""

Quantity = Annotated[float, Meta(ge=0, le=1e15)]
"""A finite number that isn't negative."""

Name = Annotated[str, Meta(max_length=256)]
"""The name of a service, data centre or the like. Names are sent to peers in datagrams,
which have a limited size."""
