"""Tests that operators see where a request would go, from the store that decides."""

import json
import subprocess
import unittest

from platformdeployment import (BUILD, OPERATOR_PORT, PlatformDeployment, Upstream, call,
                                wait_until)

METRICS_PORT = OPERATOR_PORT
PATH = "/operator/v1/placement"
QUERY = "?route=stream&workspace=vendors"


class PlacementTest(PlatformDeployment):
    @classmethod
    def start(cls, role, number, founding=False):
        # Without a rate tolerance, the rate bucket of a store that has just become the broker is
        # empty.
        cls.role_settings = {"store": {
            "metricsAddress": f"{cls.address('store', number)}:{METRICS_PORT}", "rateSlack": 4}}
        super().start(role, number, founding)

    def get(self, store, target):
        status, body, _ = call(self.address("store", store), METRICS_PORT, "GET", target)
        return status, body.decode() if isinstance(body, bytes) else body

    def responses(self, stores):
        """Returns the responses of the stores, by number."""
        found = {}
        for store in stores:
            status, body = self.get(store, PATH + QUERY)
            found[store] = status, json.loads(body)
        return found

    def broker_of(self, stores):
        """Returns the number of the only store that explains, if all others name it."""
        responses = self.responses(stores)
        brokers = [store for store, (status, _) in responses.items() if status == 200]
        if len(brokers) != 1:
            return None
        for store, (status, body) in responses.items():
            named = status == 503 and body["error"]["code"] == "not_leader" \
                and f'"store-{brokers[0]}"' in body["error"]["message"]
            if store not in brokers and not named:
                return None
        return brokers[0]

    def test_only_the_broker_explains_and_nothing_is_sent(self):
        """Guards against a store that explains without deciding, against a query that reaches an
        upstream, against other paths that no longer respond with the metrics, and against a broker
        that is not found after its predecessor was lost."""
        stores = [1, 2, 3]
        self.assertTrue(wait_until(lambda: self.broker_of(stores)))
        broker = self.broker_of(stores)
        received = len(Upstream.received)
        explanation = self.responses([broker])[broker][1]
        self.assertEqual(explanation["outcome"], "granted")
        self.assertIn(explanation["upstream"], [u["id"] for u in explanation["upstreams"]])
        command = [BUILD / "bin" / "rattanrillctl", "placement", "explain", "--json"]
        command += [word for part in QUERY[1:].split("&")
                    for word in ("--" + part.split("=")[0], part.split("=")[1])]
        for store in stores:
            command += ["--server", f"{self.address('store', store)}:{METRICS_PORT}"]
        self.assertEqual(json.loads(subprocess.check_output(command))["outcome"], "granted")
        self.assertEqual(len(Upstream.received), received)
        self.assertEqual(self.get(broker, PATH + QUERY + "&x=y")[0], 400)
        for target in ("/metrics", "/", PATH + "/x"):
            status, body = self.get(broker, target)
            self.assertEqual((status, "rattanrill_memory_used_bytes" in body), (200, True))
        self.kill("store", broker)
        others = [store for store in stores if store != broker]
        self.assertTrue(wait_until(lambda: self.broker_of(others)))


if __name__ == "__main__":
    unittest.main()
