"""Decide what each engine has loaded and send the orders for it."""
