"""Run a control process: agreed state, sync responder, leader systems and operator API."""
