Feature: The longest matching path prefix of the host determines the route

  Scenario Outline: A host and a path select a route
    Given routes for "/", "/a/" and "/a/b/" of "one.example" and "/" of "two.example"
    Then the route for "<host>" and "<path>" is "<route>"

    Examples:
      | host             | path    | route         |
      | one.example      | /       | one.example/  |
      | one.example      | /a      | one.example/  |
      | one.example      | /a/     | one.example/a/ |
      | One.Example:8080 | /a/b/c  | one.example/a/b/ |
      | one.example      | /a/bc/d | one.example/a/ |
      | two.example      | /a/b/c  | two.example/  |
      | three.example    | /a/     | none          |

  Scenario: The services of a route get requests in proportion to their weights
    Given a route with the shares "90" and "10"
    Then of 1000 draws 900 go to the first service
