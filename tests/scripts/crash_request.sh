# Guards against one request that ends plain runner after plain runner, as its
# callers send it again and again: with addresses that fall silent, runners that
# are back before their entries expire, requests that may run only once, and no
# other traffic that would find the ends.  The seeds' bits are those of
# crash_request_bit in tests/soak_world.c.
for seed in 8 9 10 13 27; do
  echo "$seed: $(bash tests/soak.sh $seed 18 4 crash-request 2> /dev/null \
    | paste -sd' ')" &
done | sort -n
