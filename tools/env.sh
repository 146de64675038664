# Sets root, venv, PATH and PYTHONPATH for the scripts of this repository.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
venv=$("$root/tools/setup")
export PATH="$venv/bin:$PATH"
export PYTHONPATH="$root/packages/cassiashift-core:$root/packages/cassiashift-net:$root/packages/cassiashift-daemon:$root/packages/cassiashift-cli:$root/platform:$root"
export PYTHONDONTWRITEBYTECODE=${PYTHONDONTWRITEBYTECODE:-}
