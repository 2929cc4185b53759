Feature: An invalid request gets a typed error that names a remedy

  Scenario Outline: Refuse an invalid request
    Given an instance with one engine
    When a caller sends <request>
    Then the answer is <status> of type <kind>
    And the answer says that the work was not run
    And the answer names a remedy
    And no engine has run anything

    Examples:
      | request                    | status | kind              |
      | an unknown model           | 404    | unknown_model     |
      | no model                   | 400    | bad_request       |
      | malformed JSON             | 400    | bad_request       |
      | a JSON list                | 400    | bad_request       |
      | no prompt                  | 400    | bad_request       |
      | an empty prompt            | 400    | bad_request       |
      | messages as strings        | 400    | bad_request       |
      | max_tokens above the limit | 400    | bad_request       |
      | max_tokens as a string     | 400    | bad_request       |
      | a prompt above the limit   | 400    | prompt_too_long   |
      | a wrong method             | 405    | wrong_method      |
      | an unknown path            | 404    | not_found         |
      | no key                     | 401    | unauthorized      |
      | a wrong key                | 401    | unauthorized      |
      | a client's key to admin    | 403    | forbidden         |
      | a body above the limit     | 413    | too_large         |
      | a huge header              | 431    | headers_too_large |
      | malformed HTTP             | 400    | bad_request       |

  Scenario Outline: Refuse an invalid job
    Given an instance with one engine
    When a caller submits <job>
    Then the answer is <status> of type <kind>
    And the answer says that the work was not run
    And the answer names a remedy
    And the message has "<words>"
    And the account has no job

    Examples:
      | job                      | status | kind            | words             |
      | no items                 | 400    | bad_request     | no items          |
      | a duplicate custom_id    | 400    | bad_request     | Line 2            |
      | malformed line 3         | 400    | bad_request     | Line 3            |
      | an item above the limit  | 400    | bad_request     | Line 1            |
      | an unknown model         | 404    | unknown_model   | Line 1            |
      | two models               | 400    | bad_request     | Line 2            |
      | an unknown url           | 400    | bad_request     | Line 1            |
      | a prompt above the limit | 400    | prompt_too_long | Line 1            |
      | an invalid window        | 400    | bad_request     | completion_window |
