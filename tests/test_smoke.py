from tests.harness.cluster import Cluster
from tests.harness.oracle import told, whole


def test_a_request_is_served_through_each_entry(cluster: Cluster) -> None:
    for name in cluster.entry_names:
        got = told("", cluster.chat(name, tokens=5))
        assert got.served and whole(got.text, 5)
