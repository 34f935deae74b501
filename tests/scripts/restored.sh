# Guards against changes, runners and leases that are lost or taken for others'
# when the store is put back to an older copy.
bash tests/soak.sh 92 24 3 restored 2> /dev/null
