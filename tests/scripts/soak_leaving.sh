# Guards against requests to a runner whose answers say that it leaves, while
# its entry stays ready and gateways stop, pause and restart.
for seed in 3; do
  echo "seed $seed: $(bash tests/soak.sh $seed 24 3 leaving 2> /dev/null)"
done
