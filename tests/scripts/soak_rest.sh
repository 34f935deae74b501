# Guards against requests to a runner within the time of rest that it has asked
# for, while gateways stop, pause and restart.
for seed in 4; do
  echo "seed $seed: $(bash tests/soak.sh $seed 24 3 rest 2> /dev/null)"
done
