"""CoAP messages as octets: codec, options and exchange numbers."""
