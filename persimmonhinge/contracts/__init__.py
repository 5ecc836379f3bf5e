"""Contracts: their model, their store on a host and their audit trail."""
