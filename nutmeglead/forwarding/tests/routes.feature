Feature: A request is matched to the route with the longest prefix, at a cost that does not grow with the manifest

  Scenario: Each request gets the route that a comparison with every route of the manifest gives
    # Guards against an index of prefixes that finds another route than the longest one, or none.
    Then 300 generated manifests match each path as a comparison with every route does

  Scenario: A look-up does not examine routes of other prefixes
    # Guards against look-ups that take longer with each added route, on the slowest VMs most.
    Given a table of 3000 routes with prefixes of the same length
    When the path of the last route is looked up
    Then the last route is found, and no prefix of a route was read
