#!/bin/sh
# Generates the TypedDicts beside each schema. Usage: generate.sh [OUTPUT_FOLDER]
set -eu
here=$(dirname "$0")
out=${1:-$here}
for name in settings config messages; do
    datamodel-codegen --formatters black isort --input "$here/$name.json" --input-file-type jsonschema \
        --output-model-type typing.TypedDict --enum-field-as-literal all \
        --target-python-version 3.11 --use-schema-description --use-field-description \
        --use-standard-collections --use-union-operator \
        --disable-timestamp --output "$out/$name.py"
done
ruff format -q "$out/settings.py" "$out/config.py" "$out/messages.py"
