//! Network partitions in a simulation.

use std::collections::BTreeSet;

/// Set of partitioned links. A link is directed, a pair of sender and receiver; a partitioned link delivers nothing.
#[derive(Clone, Debug)]
pub struct PartitionedLinks<Node> {
    links: BTreeSet<(Node, Node)>,
}

impl<Node: Copy + Ord> PartitionedLinks<Node> {
    /// Partitions one direction, from the first node to the second. Has no effect if it is already partitioned.
    pub fn insert(&mut self, link: (Node, Node)) {
        self.links.insert(link);
    }

    /// Partitions both directions between two nodes.
    pub fn insert_both_ways(&mut self, one: Node, other: Node) {
        self.links.extend([(one, other), (other, one)]);
    }

    /// Joins the two nodes in one direction. Does nothing if the link is not partitioned.
    pub fn remove(&mut self, link: &(Node, Node)) {
        self.links.remove(link);
    }

    /// Whether the link from the first node to the second is partitioned.
    pub fn contains(&self, link: &(Node, Node)) -> bool {
        self.links.contains(link)
    }

    /// Heals all links.
    pub fn clear(&mut self) {
        self.links.clear();
    }
}

impl<Node> Default for PartitionedLinks<Node> {
    fn default() -> Self {
        Self {
            links: BTreeSet::new(),
        }
    }
}

impl<Node: Copy + Ord> Extend<(Node, Node)> for PartitionedLinks<Node> {
    fn extend<Links: IntoIterator<Item = (Node, Node)>>(&mut self, links: Links) {
        self.links.extend(links);
    }
}
