"""Judgement of backend servers and permits to eject them."""
