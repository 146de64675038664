"""An entry that calls upstreams directly, without agents beside them."""
