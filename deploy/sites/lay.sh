#!/bin/sh
# Lays beside the variants what the bench needs there, from ../given, and prints the variant's path:
#   ../given/kit/more/mass/bin/lbreal score "$(sh deploy/sites/lay.sh harbour-freight)" --quick --why "..."
here=$(cd "$(dirname "$0")" && pwd) || exit 1
from=$here/../../../given/kit/sites
names=$(cd "$here" && ls -- *.toml | sed 's/\.toml$//' | tr '\n' ' ')
if [ $# -ne 1 ] || [ ! -f "$here/$1.toml" ]; then
    echo "lay.sh: name one variant: $names" >&2
    exit 2
fi
for file in real.json wire.json unlock.txt; do
    if ! cp -f "$from/$file" "$here/$file" 2>/dev/null; then
        echo "lay.sh: can't lay $file: ../given/kit/sites/$file is not beside the repository, or can't be copied" >&2
        exit 1
    fi
    chmod u+w "$here/$file"
done
echo "$here/$1.toml"
