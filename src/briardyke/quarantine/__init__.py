"""Find the parts of prompts that crash engines, and stop requests that contain them."""
