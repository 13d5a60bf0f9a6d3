"""Messages between programs: HTTP bodies by counterpart, stored records, frames between members.

The only place that knows the field names of the protocol; everything else uses the standard terms.
"""
