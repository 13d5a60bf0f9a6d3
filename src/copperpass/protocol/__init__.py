"""Wire formats: HTTP bodies by external system, stored records, and frames between members.

Only this package knows the field names of the protocol; other code uses the standard terms.
"""
