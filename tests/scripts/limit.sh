# Guards against a runner that gets far more requests than the limit that it
# names, from several gateways together.
bash tests/soak.sh 1 20 4 limit 2> /dev/null
