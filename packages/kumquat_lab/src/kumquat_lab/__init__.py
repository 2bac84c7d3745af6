"""Emulators, load tool and experiments for kumquatrouter."""
