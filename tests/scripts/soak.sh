# Guards against a promise that breaks under faults in series: a short run of
# the soak with a fixed seed; seeds that once failed are added here.
for seed in 1; do
  echo "seed $seed: $(bash tests/soak.sh $seed 24 3 2> /dev/null)"
done
