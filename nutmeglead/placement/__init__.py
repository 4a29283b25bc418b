"""Plan which server owns which unit, from measured load, tickets and lost servers."""
