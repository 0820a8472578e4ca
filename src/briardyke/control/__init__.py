"""Run a control process: agreed state, sync responder, leader tasks and operator API."""
