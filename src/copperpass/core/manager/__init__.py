"""The parts of the leader's control loop; `copperpass.core.cluster_manager` puts them together."""
